import {
  DesiredState,
  Endpoint,
  MoveOrder,
  MoveResult,
} from '@ryeworks/dispatch';
import {IncomingHttpHeaders} from 'node:http';

/** Headers as names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** What a caller's request says of itself. */
export interface RequestInfo {
  /** Id that the caller gave its attempt; empty when it gave none. */
  readonly attemptId: string;
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  readonly apiKey: string | undefined;
  readonly deadlineInMs: number | undefined;
  readonly promptTokens: number;
  readonly totalTokens: number | undefined;
  /** Last event that the caller has of an earlier stream; empty: none. */
  readonly lastEventId: string;
}

/** What an endpoint is told beside what the caller sent. */
export interface EndpointCallInfo {
  readonly endpointId: string;
  /** Empty when the caller needs no key. */
  readonly customer: string;
  readonly timeLeftMs: number;
  /** Last event that the caller has; empty: none. */
  readonly lastEventId: string;
}

/** What the head of an endpoint's answer shows. */
export const answerClass = {
  /** An answer to this call. */
  own: 'own',
  /** The endpoint did not run the call. */
  refused: 'refused',
  /** Another endpoint has the address and did not run the call. */
  wrongEndpoint: 'wrongEndpoint',
  /** Not an answer to this call, or not one of the endpoint. */
  unverified: 'unverified',
} as const;

/** One of the answer classes. */
export type AnswerClass = (typeof answerClass)[keyof typeof answerClass];

/** The head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** How callers and endpoints of a deployment speak. */
export interface WireFormat {
  /** Path of the balancer's question whether this VM is ready. */
  readonly readyPath: string;
  /** Reads what a caller's request says. */
  readRequestInfo(url: string, headers: IncomingHttpHeaders): RequestInfo;
  /** Creates the headers of the call to an endpoint. */
  createEndpointHeaders(raw: RawHeaders, facts: EndpointCallInfo): string[];
  /** Tells what the head of an answer shows. */
  classifyAnswer(head: AnswerHead, attemptId: string): AnswerClass;
  /** Creates the headers of an answer to the caller. */
  createCallerHeaders(head: AnswerHead): Record<string, string | string[]>;
}

/** A VM that announced itself. */
export interface AnnouncedVm {
  readonly vm: string;
  /** `host:port` where it takes peers' messages. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** What the platform's store holds, by kind. */
export interface StoreContents {
  desiredState: DesiredState;
  endpoint: Endpoint;
  move: MoveOrder;
  vm: AnnouncedVm;
}

/** One of the kinds of objects. */
export type StoreKind = keyof StoreContents;

/** One object of the store. */
export interface StoreItem<K extends StoreKind> {
  readonly name: string;
  /** Undefined when the object was removed, or cannot be read. */
  readonly content: StoreContents[K] | undefined;
  /** What is wrong with an object that cannot be read. */
  readonly decodeError: string | undefined;
}

/** All objects of a kind. */
export interface StoreListing<K extends StoreKind> {
  readonly items: ReadonlyArray<StoreItem<K>>;
  /** Revision of the store at which they were listed. */
  readonly revision: number;
}

/** The platform's store, as far as the product needs it. */
export interface DeploymentStore {
  /** Lists all objects of a kind as they are now. */
  list<K extends StoreKind>(kind: K): Promise<StoreListing<K>>;
  /**
   * Returns what changed since a revision, as soon as something did, or nothing
   * after the time to wait. Undefined: the store has forgotten that history.
   */
  watch<K extends StoreKind>(
    kind: K,
    sinceRevision: number,
    waitMs: number,
  ): Promise<StoreListing<K> | undefined>;
  /**
   * Reads the desired state. Undefined: there is none that can be read.
   *
   * @param isStaleAllowed whether it may be seconds old, at a lower price
   */
  readDesiredState(isStaleAllowed: boolean): Promise<DesiredState | undefined>;
  /** Enters this VM into the store. */
  announceVm(vm: AnnouncedVm): Promise<void>;
  /** Writes how a move stands, if its order is still the one decided on. */
  writeMoveResult(result: MoveResult): Promise<void>;
}
