import {noPosition} from '@ryeworks/dispatch';
import {EventQueue} from '../harness/eventQueue.js';
import {FleetVm} from './fleetVm.js';

const era = 1;

/** Stand-in for the part of the store that holds the evacuations. */
export class FleetStore {
  /** Zones whose VMs do not reach the store. */
  private readonly cutZones = new Set<string>();
  private zones: readonly string[] = [];
  private revision = 1;

  constructor(private readonly events: EventQueue) {}

  /** Sets the zones that the operators want to be evacuated. */
  setEvacuations(zones: readonly string[]): void {
    this.zones = zones;
    this.revision += 1;
  }

  /** Cuts the VMs of a zone off. */
  setCut(zone: string, vms: Iterable<FleetVm>): void {
    this.cutZones.add(zone);
    for (const vm of vms) {
      if (vm.options.availabilityZone !== zone) continue;
      vm.submit({kind: 'storeReachabilityChanged', isReachable: false});
    }
  }

  /** Passes the evacuations to a VM, if the fleet has any and the VM is not cut off. */
  passEvacuations(vm: FleetVm, delayMs: number): void {
    if (vm.options.evacuationMs === undefined) return;
    if (this.cutZones.has(vm.options.availabilityZone)) return;
    const {revision, zones} = this;
    const submit = () => {
      vm.submit({kind: 'storeEraRead', era});
      vm.submit({kind: 'evacuationsRead', era, zones});
      vm.submit({
        kind: 'storePositionRead',
        position: noPosition,
        ordersPosition: noPosition,
        evacuationsPosition: {era, revision},
      });
    };
    if (delayMs === 0) submit();
    else this.events.schedule(delayMs, submit);
  }
}
