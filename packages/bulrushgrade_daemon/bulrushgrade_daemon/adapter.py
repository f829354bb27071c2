"""What ties a gateway to one platform: plain functions and readers."""

from collections.abc import Callable

import attrs
from returns.result import Result

from bulrushgrade import directory
from bulrushgrade import errors
from bulrushgrade import routing
from bulrushgrade_daemon import cachewatch
from bulrushgrade_daemon import crashsharing
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import stagecontrol
from bulrushgrade_daemon import topicreader


@attrs.frozen(kw_only=True)
class Adapter:
    """What ties a gateway to one platform.

    Attributes:
        dialect: Translates headers.
        configuration_reader: Reads the topic of the configuration.
        endpoint_reader: Reads the topic of the endpoints.
        decode_configuration: Returns the configuration in a record of a key,
            None where the key holds something else, or a failure.
        decode_registration: Returns an endpoint's registration or a failure.
        read_cache_changes: Returns what changed in an engine's cache.
        membership: The topic in which gateways find each other.
        crash_topic: The topic of requests at endpoints that crashed.
        order_topic: The topic that decides whose turn it is to order.
        engine_control: Asks engines and orders them about.
        operator_calls: Calls that one host at a time makes for the operator;
            None where none are wanted.
    """

    dialect: dialect.Dialect
    configuration_reader: topicreader.KeyedReader
    endpoint_reader: topicreader.KeyedReader
    decode_configuration: Callable[
        [topicreader.KeyedRecord],
        Result[routing.Configuration | None, errors.BadRecord],
    ]
    decode_registration: Callable[
        [topicreader.KeyedRecord],
        Result[directory.Registration, errors.BadRecord],
    ]
    read_cache_changes: cachewatch.ReadChanges
    membership: peerlink.Membership
    crash_topic: crashsharing.CrashTopic
    order_topic: fencedactions.OrderTopic
    engine_control: stagecontrol.EngineControl
    operator_calls: operatorcalls.OperatorCalls | None = None
