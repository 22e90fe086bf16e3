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

/** Duration of a call to a plain service, in ms. */
const plainCallMs = 5;

/** Receives the events of one call at an endpoint. */
export interface EndpointListener {
  onFirstToken(): void;
  onProgress(): void;
  onDone(outputTokens: number): void;
  onFailed(): void;
  /** Called when the connection was reset. */
  onCut(): void;
}

/** A call as the endpoint receives it. */
export interface EndpointCall {
  readonly requestId: string;
  readonly route: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: string;
  /** Key by which the endpoint counts runs. */
  readonly runKey: string;
}

/** The stream of a call at an endpoint; outlives its listener. */
interface FakeStream {
  emittedTokens: number;
  isDone: boolean;
  isFailed: boolean;
  /** The connected listener; undefined after its connection was reset. */
  listener: EndpointListener | undefined;
}

/**
 * Simulates an endpoint in virtual time: a model with the stand-in's engine
 * model, a plain service with a fixed delay.
 */
export class FakeEndpoint {
  readonly model: EngineModel;
  private readonly streams = new Map<string, FakeStream>();
  private isStepping = false;
  /** Whether connections stay open but deliver no events. */
  isSilent = false;
  /** Whether new connections are refused. */
  isDown = false;
  /** Whether the endpoint has fallen silent and will go on. */
  private isPaused = false;
  /** What the endpoint does not send before it goes on. */
  private readonly held: (() => void)[] = [];
  /** Number of runs, by run key. */
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

  /** Starts a call and counts its run. */
  startCall(call: EndpointCall, listener: EndpointListener): void {
    const {runKey, requestId} = call;
    this.runs.set(runKey, (this.runs.get(runKey) ?? 0) + 1);
    const stream = {emittedTokens: 0, isDone: false, isFailed: false, listener};
    this.streams.set(requestId, stream);
    if (this.endpoint.kind === 'plain') {
      this.events.schedule(plainCallMs, () => {
        stream.isDone = true;
        this.notify(stream, listener => listener.onFirstToken());
        this.notify(stream, listener => listener.onDone(0));
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

  /** Connects a new listener to a stream. Returns whether the stream exists. */
  resumeStream(streamId: string, listener: EndpointListener): boolean {
    const stream = this.streams.get(streamId);
    if (stream === undefined) return false;
    stream.listener = listener;
    const {emittedTokens, isDone, isFailed} = stream;
    this.send(() => {
      if (emittedTokens > 0) listener.onFirstToken();
      if (isFailed) listener.onFailed();
      else if (isDone) listener.onDone(emittedTokens);
    });
    return true;
  }

  /**
   * Pauses what the endpoint sends. It accepts connections and works meanwhile,
   * and then sends everything that it held back.
   */
  pause(durationMs: number): void {
    this.isPaused = true;
    this.events.schedule(durationMs, () => {
      this.isPaused = false;
      for (const send of this.held.splice(0)) send();
    });
  }

  /** Sends something, after a pause if there is one. */
  private send(sendNow: () => void): void {
    if (this.isPaused) this.held.push(sendNow);
    else sendNow();
  }

  /** Cancels a call and removes its stream. */
  cancelCall(requestId: string): void {
    cancelSequence(this.model, requestId);
    this.streams.delete(requestId);
  }

  /** Resets the connections of all listeners; the streams stay. */
  dropListeners(): void {
    for (const stream of this.streams.values()) {
      if (!stream.isDone) stream.listener?.onCut();
      stream.listener = undefined;
    }
  }

  private notify(
    stream: FakeStream,
    callListener: (listener: EndpointListener) => void,
  ): void {
    const {listener} = stream;
    if (this.isSilent || listener === undefined) return;
    this.send(() => {
      // A connection that was replaced meanwhile receives nothing any more.
      if (stream.listener === listener) callListener(listener);
    });
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
          this.notify(stream, listener =>
            stream.emittedTokens === 1
              ? listener.onFirstToken()
              : listener.onProgress(),
          );
        }
        if (kind === 'done') {
          stream.isDone = true;
          this.notify(stream, listener =>
            listener.onDone(stream.emittedTokens),
          );
        }
        if (kind === 'failed') {
          stream.isFailed = true;
          this.notify(stream, listener => listener.onFailed());
        }
      }
      this.isStepping = false;
      this.runSteps();
    });
  }
}
