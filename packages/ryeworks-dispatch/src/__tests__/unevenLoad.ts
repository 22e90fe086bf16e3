import {Test} from 'tap';
import {
  CustomerResult,
  getQuantile,
  getRoomPerSecond,
  measuredUntilMs,
  SharedFleet,
  SharedFleetCustomer,
  warmUpMs,
} from './sharedFleet.js';

/** Load of all customers together relative to what the endpoints can serve. */
export const load = 1.3;
const quietCount = 15;
/** Rate of the heavy customer relative to each other one. */
const heavyFactor = 6;
/** End of the runs, when the requests that are measured have ended, in ms. */
export const endMs = 11_000;

/**
 * Creates a heavy customer, whose callers are connected to a third of the VMs, and
 * fifteen others, whose callers are connected to one to three VMs each.
 */
function createCustomers(
  vms: number,
  endpoints: number,
): SharedFleetCustomer[] {
  const perSecond =
    (load * getRoomPerSecond(endpoints)) / (quietCount + heavyFactor);
  const heavyVms = Array.from({length: Math.ceil(vms / 3)}, (_, vm) => vm);
  const customers: SharedFleetCustomer[] = [
    {name: 'heavy', perSecond: perSecond * heavyFactor, vms: heavyVms},
  ];
  for (let index = 0; index < quietCount; index++) {
    const ownVms = Array.from(
      {length: 1 + (index % 3)},
      (_, number) => (index * 7 + number * 5) % vms,
    );
    customers.push({name: `quiet-${index}`, perSecond, vms: ownVms});
  }
  return customers;
}

/** Part of its fair share that each customer must get at least. */
const minPart = 0.9;

/** Describes what a customer got, with its part of the room. */
function describeResult(result: CustomerResult, room: number): string {
  const part = (result.served / room).toFixed(3);
  const waitMs = Math.round(getQuantile(result.waitsMs, 0.95));
  const refusals = [...result.refusals].map(item => item.join(' ')).join();
  return `${part} of the room, ${result.sent} sent, p95 ${waitMs} ms, refused: ${refusals}`;
}

/** Returns the number of requests that a fleet can serve in the measured time. */
export function countRoom(endpoints: number): number {
  return (getRoomPerSecond(endpoints) * (measuredUntilMs - warmUpMs)) / 1000;
}

/** Checks that each customer of an unevenly loaded fleet gets its fair share. */
export function checkShares(t: Test, vms: number, endpoints: number): void {
  const customers = createCustomers(vms, endpoints);
  const fleet = new SharedFleet(vms, endpoints, customers, 29);
  fleet.runUntil(endMs);
  const room =
    (getRoomPerSecond(endpoints) * (measuredUntilMs - warmUpMs)) / 1000;
  let served = 0;
  const fairShare = room / customers.length;
  for (const [name, result] of fleet.results) {
    served += result.served;
    const text = `${name}: ${describeResult(result, room)}`;
    const wanted = minPart * Math.min(result.sent, fairShare);
    t.ok(result.served >= wanted, text);
  }
  const heavyWaitMs = getQuantile(fleet.results.get('heavy')!.waitsMs, 0.95);
  for (const [name, {waitsMs}] of fleet.results) {
    const waitMs = getQuantile(waitsMs, 0.95);
    t.ok(waitMs <= heavyWaitMs, `${name} waits up to ${waitMs} ms`);
  }
  t.ok(served >= 0.9 * room, `${served} of ${room} served`);
}
