"""Entry point that runs the stand-ins from the command line."""

import asyncio

from plantainway.standins import _engine
from plantainway.standins import _platform
from plantainway.standins import _service
from plantainway import stores

WEIGHTS_SIZE_BYTES = 200_000_000


async def serve(declared, platform_address: str) -> None:
    """Runs the platform and all declared upstreams until cancelled.

    Args:
        declared: Set of declared objects.
        platform_address: ``IP:PORT`` for the platform's services.
    """
    host, _, port = platform_address.rpartition(':')
    services = _platform.PlatformStandIn(host, int(port))
    for name in {
        item.weights
        for kind in ('model_version', 'adapter')
        for item in declared.of_kind(kind).values()
    }:
        services.weights.sizes[name] = WEIGHTS_SIZE_BYTES
    await services.start()
    fleet = _engine.Fleet(services.weights)
    entries = []
    for name, item in declared.of_kind('upstream').items():
        host, _, port = item.address.rpartition(':')
        if item.type == 'service':
            await _service.ServiceStandIn(host, int(port)).start()
            continue
        engine = _engine.EngineStandIn(
            name,
            fleet,
            host,
            int(port),
            checks_fencing=item.checks_fencing,
        )
        await engine.start()
        entries.append(
            stores.VmEntry(
                name, item.address, item.place, item.fabric_domain, False
            )
        )
    services.vm_list.set_entries(entries)
    print(f'stand-ins ready: platform at {services.url}')
    await asyncio.Event().wait()
