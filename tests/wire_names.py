"""The Python names that the pinned data describes, so that a rename changes only this file of the tests."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from lapistrestle.command.experiments import read_experiment
from lapistrestle.command.rollouts import RolloutPolicy
from lapistrestle.deployment.load import convert_value, load_deployment, load_holder, read_json5
from lapistrestle.deployment.schema import Deployment, HolderDeployment
from lapistrestle.model.experiment import Experiment
from lapistrestle.node.configuration import ConfigurationFile, PlatformSettings
from lapistrestle.node.replies import Reply as RunnerReply
from lapistrestle.standins.script import Day, read_day
from lapistrestle.wire import directory, fleet, messages, plans

JSON_UNIONS: dict[str, dict[str, Any]] = {
    "client": {"to edge": messages.FromClient, "from edge": messages.ToClient},
    "runner": {"to edge": messages.FromRunner, "from edge": messages.ToRunner},
    "roster": {"to edge": messages.FromRoster, "from edge": messages.ToRoster},
    "peer": {"between edges": messages.PeerMessage},
    "planner": {"from planner": plans.FromPlanner, "to planner": plans.ToPlanner},
    "directory": {"from watcher": directory.FromWatcher, "from holder": directory.FromHolder},
}
FLEET_UNION = fleet.Message
FLEET_DATAGRAM = fleet.Datagram
CONSTANTS: dict[str, Any] = {
    "client protocol": messages.CLIENT,
    "runner protocol": messages.RUNNER,
    "roster protocol": messages.ROSTER,
    "planner protocol": plans.PLANNER,
    "directory protocol": directory.DIRECTORY,
    "version of lines": messages.VERSION,
    "version of datagrams": fleet.VERSION,
    "bytes of a datagram": fleet.MAX_DATAGRAM_BYTES,
}
SETTINGS: dict[str, Any] = {
    "deployment": Deployment,
    "holder": HolderDeployment,
    "experiment": Experiment,
    "day": Day,
    "policy": RolloutPolicy,
    "platform file": ConfigurationFile,
    "platform settings": PlatformSettings,
    "platform runner's reply": RunnerReply,
}
encode_line: Callable[[Any], bytes] = messages.encode
decode_datagram: Callable[[bytes, str], Any] = fleet.decode
encode_datagram: Callable[[Any], bytes] = fleet.encode


def line_decoder(union: Any) -> Callable[[bytes], Any]:
    """Return a decoder of the lines of one direction of a protocol."""
    return msgspec.json.Decoder(union).decode


def load_policy(path: Path) -> Any:
    """Read and validate a rollout policy file."""
    value, text = read_json5(path)
    return convert_value(value, RolloutPolicy, text, str(path))


LOADERS: dict[str, Callable[[Path], Any]] = {
    "*.json5": load_deployment,
    "days/*.json5": read_day,
    "directory/edge*.json5": load_deployment,
    "directory/holder*.json5": load_holder,
    "experiments/*.json5": read_experiment,
    "policies/*.json5": load_policy,
}
