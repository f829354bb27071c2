"""Follows the stream of documents and keeps the accepted ones in force."""

from collections.abc import Callable
import random
from typing import Any

from returns.result import Failure
from returns.result import Success

