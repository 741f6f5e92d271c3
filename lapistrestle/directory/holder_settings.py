"""Conversion of a holder's settings file to `HolderSettings`."""

from lapistrestle.deployment.schema import HolderDeployment
from lapistrestle.directory.effects import HolderSettings

BURSTS_PER_SECOND = 4  # the burst is a quarter of a second's snapshots


def holder_settings(made: HolderDeployment) -> HolderSettings:
    """The settings of a `ShardHolder`, from a holder's settings file."""
    directory = made.directory
    serve = made.serve
    workers = made.workers
    return HolderSettings(
        shards=frozenset(serve.shards or range(len(directory.shards))),
        shard_count=len(directory.shards),
        epoch=directory.epoch,
        oldest_epoch=serve.oldest_epoch or directory.epoch,
        lease=int(directory.lease),
        session_bytes=directory.bytes_per_second,
        total_bytes=serve.bytes_per_second,
        snapshot_rate=max(1, round(serve.snapshots_per_second)),
        snapshot_burst=max(1, round(serve.snapshots_per_second / BURSTS_PER_SECOND)),
        max_sessions=serve.connections,
        ramp_time=int(workers.ramp),
        cold_share=workers.cold_share,
    )
