"""dunefield: the decisions of a sidecar balancer for service-to-service calls."""

from dunefield.interface import (
    Accept,
    Action,
    Alarm,
    Begun,
    CloseIdle,
    Defer,
    Directory,
    Echo,
    Entry,
    Event,
    Fail,
    Fetch,
    Hangup,
    Heard,
    How,
    Note,
    Probe,
    Refuse,
    Response,
    Retract,
    Settings,
    SettingsError,
    Submit,
    Subscribe,
    Tell,
)
from dunefield.rules import Balancer

__all__ = [
    "Accept", "Action", "Alarm", "Balancer", "Begun", "CloseIdle", "Defer", "Directory", "Echo", "Entry",
    "Event", "Fail", "Fetch", "Hangup", "Heard", "How", "Note", "Probe", "Refuse", "Response", "Retract",
    "Settings", "SettingsError", "Submit", "Subscribe", "Tell",
]
__version__ = "0.2.0"
