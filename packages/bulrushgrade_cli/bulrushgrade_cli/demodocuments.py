"""Service and fleet documents that the demo publishes."""

MODEL = "grade-large"
VERSION = "1"

FLEET = f"""
[fleet]
format = 1
name = demo
team = platform

[region tr-marmara]
zones = gebze-a

[team platform]
services = pack-llm, portal-app

[engines {MODEL}]
zone = gebze-a
count = 2
token_s_per_s = 1000
"""

PACK_LLM = f"""
[document]
format = 1
service = pack-llm
team = platform
kind = model

[model {MODEL}]
version = {VERSION}

[deadline any]
whole_answer_s = 60
first_token_s = 10
between_tokens_s = 5

[share]
guaranteed_fraction = 0.8
"""

PORTAL_APP = """
[document]
format = 1
service = portal-app
team = platform
kind = plain

[deadline any]
whole_answer_s = 10

[route confirm]
method = POST
path = /confirmations
repeatable = no
idempotency_header = Idempotency-Key
"""

ALL = (FLEET, PACK_LLM, PORTAL_APP)
