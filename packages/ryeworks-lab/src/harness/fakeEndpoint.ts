import {
  addSequence,
  cancelSequence,
  createEngineModel,
  defaultEngineOptions,
  EngineModel,
  finishStep,
  isIdle,
  startStep,
} from '@ryeworks/standins';
import {Endpoint} from '@ryeworks/types';
import {EventQueue} from './eventQueue.js';

/** Time of a call to a plain service, in ms. */
const plainCallMs = 5;

/** Hears of one call at an endpoint. */
export interface EndpointListener {
  onFirstToken(): void;
  onProgress(): void;
  onDone(outputTokens: number): void;
  onFailed(): void;
  /** The connection was reset. */
  onCut(): void;
}

/** A call as an endpoint sees it. */
export interface EndpointCall {
  readonly requestId: string;
  readonly route: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: string;
  /** Key under which runs are counted. */
  readonly runKey: string;
}

/** A stream at an endpoint, also after its reader has left. */
interface FakeStream {
  emittedTokens: number;
  isDone: boolean;
  isFailed: boolean;
  listener: EndpointListener | undefined;
}

/** An endpoint in virtual time: the stand-in's engine model, or a delay. */
export class FakeEndpoint {
  readonly model: EngineModel;
  private readonly streams = new Map<string, FakeStream>();
  private isStepping = false;
  /** Open connections pass nothing on. */
  isSilent = false;
  /** New connections are refused. */
  isDown = false;
  /** Runs by key. */
  readonly runs = new Map<string, number>();

  constructor(
    readonly endpoint: Endpoint,
    private readonly events: EventQueue,
    seed: number,
  ) {
    const speed = endpoint.generation;
    this.model = createEngineModel({
      ...defaultEngineOptions,
      baseStepMs: defaultEngineOptions.baseStepMs / speed,
      perSequenceMs: defaultEngineOptions.perSequenceMs / speed,
      promptTokensPerMs: defaultEngineOptions.promptTokensPerMs * speed,
      seed,
    });
  }

  /** Starts a call. */
  startCall(call: EndpointCall, listener: EndpointListener): void {
    const {runKey, requestId} = call;
    this.runs.set(runKey, (this.runs.get(runKey) ?? 0) + 1);
    const stream = {emittedTokens: 0, isDone: false, isFailed: false, listener};
    this.streams.set(requestId, stream);
    if (this.endpoint.kind === 'plain') {
      this.events.schedule(plainCallMs, () => {
        stream.isDone = true;
        this.notify(stream, one => one.onFirstToken());
        this.notify(stream, one => one.onDone(0));
      });
      return;
    }
    const {route, promptTokens, maxTokens, prefix} = call;
    addSequence(this.model, {
      id: requestId,
      route,
      promptTokens,
      maxTokens,
      prefix,
    });
    this.runSteps();
  }

  /** Gives a stream a new reader; tells whether the stream is known. */
  resumeStream(streamId: string, listener: EndpointListener): boolean {
    const stream = this.streams.get(streamId);
    if (stream === undefined) return false;
    stream.listener = listener;
    if (stream.emittedTokens > 0) listener.onFirstToken();
    if (stream.isFailed) listener.onFailed();
    else if (stream.isDone) listener.onDone(stream.emittedTokens);
    return true;
  }

  /** Stops a call. */
  cancelCall(requestId: string): void {
    cancelSequence(this.model, requestId);
    this.streams.delete(requestId);
  }

  /** Breaks off the readers of all streams. */
  dropListeners(): void {
    for (const stream of this.streams.values()) {
      if (!stream.isDone) stream.listener?.onCut();
      stream.listener = undefined;
    }
  }

  private notify(
    stream: FakeStream,
    tell: (listener: EndpointListener) => void,
  ): void {
    if (this.isSilent || stream.listener === undefined) return;
    tell(stream.listener);
  }

  private runSteps(): void {
    if (this.isStepping || isIdle(this.model)) return;
    this.isStepping = true;
    this.events.schedule(startStep(this.model), () => {
      for (const {id, kind} of finishStep(this.model)) {
        const stream = this.streams.get(id);
        if (stream === undefined) continue;
        if (kind === 'token') {
          stream.emittedTokens += 1;
          this.notify(stream, one =>
            stream.emittedTokens === 1 ? one.onFirstToken() : one.onProgress(),
          );
        }
        if (kind === 'done') {
          stream.isDone = true;
          this.notify(stream, one => one.onDone(stream.emittedTokens));
        }
        if (kind === 'failed') {
          stream.isFailed = true;
          this.notify(stream, one => one.onFailed());
        }
      }
      this.isStepping = false;
      this.runSteps();
    });
  }
}
