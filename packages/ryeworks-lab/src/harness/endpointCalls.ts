import {Dispatch, EndpointFailed, Resume} from '@ryeworks/scheduler';
import {EndpointListener, FakeEndpoint} from './fakeEndpoint.js';
import {FakeVm} from './fakeVm.js';
import {FakeCallers} from './fakeCallers.js';
import {HarnessParts} from './harnessParts.js';

/** Time until connecting to an unreachable endpoint fails, in ms. */
const connectTimeoutMs = 1000;
/** Minimum interval between two progress reports of one call, in ms. */
const progressIntervalMs = 250;

/** Simulates the calls from the VMs to the endpoints of a scenario. */
export class EndpointCalls {
  /** The endpoint of each dispatched request. */
  private readonly endpointByRequestId = new Map<string, FakeEndpoint>();

  constructor(
    private readonly harness: HarnessParts & {readonly callers: FakeCallers},
  ) {}

  /** Cancels a call at its endpoint. */
  cancel(requestId: string): void {
    this.endpointByRequestId.get(requestId)?.cancelCall(requestId);
  }

  /**
   * Creates a listener that forwards the events of a call to the VM that made
   * it, with the delay of the network. Events are lost while the VM's zone is
   * cut off from the endpoint's zone.
   */
  private createListener(
    vm: FakeVm,
    requestId: string,
    zone: string,
  ): EndpointListener {
    const forward = (submit: () => void) => {
      if (this.harness.network.isCut(vm.availabilityZone, zone)) return;
      const delayMs = this.harness.network.getDelayMs(
        zone,
        vm.availabilityZone,
      );
      this.harness.events.schedule(delayMs, submit);
    };
    let lastSentMs = 0;
    return {
      onFirstToken: () =>
        forward(() => {
          this.harness.callers.recordFirstToken(requestId);
          vm.submit({kind: 'endpointFirstToken', requestId});
        }),
      onProgress: () => {
        if (this.harness.events.nowMs - lastSentMs < progressIntervalMs) return;
        lastSentMs = this.harness.events.nowMs;
        forward(() => vm.submit({kind: 'endpointProgress', requestId}));
      },
      onDone: outputTokens =>
        forward(() =>
          vm.submit({kind: 'endpointDone', requestId, outputTokens}),
        ),
      onFailed: () => forward(() => this.failCall(vm, requestId, 'failed')),
      onCut: () => forward(() => this.failCall(vm, requestId, 'cut')),
    };
  }

  private failCall(
    vm: FakeVm,
    requestId: string,
    failure: EndpointFailed['failure'],
  ): void {
    vm.submit({kind: 'endpointFailed', requestId, failure});
  }

  /** Sends a VM's request to an endpoint. */
  dispatch(vm: FakeVm, {requestId, endpoint}: Dispatch): void {
    const target = this.harness.endpoints.get(endpoint.endpoint)!;
    const call = this.harness.ledger.callByRequestId.get(requestId)!;
    const zone = endpoint.availabilityZone;
    this.harness.ledger.dispatches.push({
      atMs: this.harness.events.nowMs,
      requestId,
      endpoint: endpoint.endpoint,
      version: endpoint.version,
      vm: vm.vm,
      tier: call.kind.tier,
    });
    call.dispatchedMs = this.harness.events.nowMs;
    const isCut = this.harness.network.isCut(vm.availabilityZone, zone);
    if (target.isDown || isCut) {
      const delayMs = isCut ? connectTimeoutMs : 1;
      this.harness.events.schedule(delayMs, () =>
        this.failCall(vm, requestId, 'notSent'),
      );
      return;
    }
    this.endpointByRequestId.set(requestId, target);
    const listener = this.createListener(vm, requestId, zone);
    const delayMs = this.harness.network.getDelayMs(vm.availabilityZone, zone);
    this.harness.events.schedule(delayMs, () =>
      target.startCall(
        {
          requestId,
          route: call.kind.name,
          promptTokens: call.promptTokens,
          maxTokens: call.outputTokens,
          prefix: call.kind.name,
          runKey: call.key || requestId,
        },
        listener,
      ),
    );
  }

  /** Reconnects a VM to a stream at an endpoint. */
  resume(vm: FakeVm, {requestId, endpoint, streamId}: Resume): void {
    const target = this.harness.endpoints.get(endpoint.endpoint)!;
    const zone = endpoint.availabilityZone;
    const isCut = this.harness.network.isCut(vm.availabilityZone, zone);
    if (target.isDown) {
      this.harness.events.schedule(1, () =>
        this.failCall(vm, requestId, 'notSent'),
      );
      return;
    }
    if (isCut || target.isSilent) return;
    const listener = this.createListener(vm, requestId, zone);
    const delayMs = this.harness.network.getDelayMs(vm.availabilityZone, zone);
    this.harness.events.schedule(delayMs, () => {
      if (target.resumeStream(streamId, listener)) return;
      this.failCall(vm, requestId, 'streamUnknown');
    });
  }
}
