import {
  CrashReport,
  DesiredState,
  Endpoint,
  EndpointNotice,
  LimitStatement,
  MoveOrder,
  MoveResult,
  StorePosition,
} from '@ryeworks/dispatch';
import {IncomingHttpHeaders} from 'node:http';

/** Header names and values in alternation, exactly as received. */
export type RawHeaders = readonly string[];

/** Information read from the URL and headers of a caller's request. */
export interface RequestInfo {
  /** ID that the caller assigned to this attempt; empty if none. */
  readonly attemptId: string;
  readonly host: string;
  /** Path of the URL, without the query string. */
  readonly path: string;
  readonly apiKey: string | undefined;
  /** Time until the caller's deadline, in ms; undefined if not stated. */
  readonly deadlineInMs: number | undefined;
  readonly promptTokens: number;
  /** Prompt tokens plus maximum output tokens; undefined if not stated. */
  readonly totalTokens: number | undefined;
  /** See `RequestReceived`. */
  readonly sharedParts: readonly string[];
  /**
   * ID of the last event that the caller received from an earlier stream; empty
   * if none.
   */
  readonly lastEventId: string;
}

/** Information sent to an endpoint in addition to the caller's request. */
export interface EndpointCallInfo {
  readonly endpointId: string;
  /** Name of the customer; empty on routes that require no API key. */
  readonly customer: string;
  /**
   * Time left until the caller's deadline or the route's timeout, whichever is
   * earlier, in ms.
   */
  readonly timeLeftMs: number;
  /** ID of the last event that the caller received; empty if none. */
  readonly lastEventId: string;
}

/** Classification of an endpoint's answer by its status and headers. */
export const answerClass = {
  /** The endpoint's answer to this call. */
  own: 'own',
  /** The endpoint did not run the call. */
  refused: 'refused',
  /** A different endpoint now has this address; it did not run the call. */
  wrongEndpoint: 'wrongEndpoint',
  /** Not verifiably the endpoint's answer to this call. */
  unverified: 'unverified',
} as const;

/** One of the values of `answerClass`. */
export type AnswerClass = (typeof answerClass)[keyof typeof answerClass];

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** The HTTP conventions of a deployment's callers and endpoints. */
export interface WireFormat {
  /** Path of the load balancer's readiness check. */
  readonly readyPath: string;
  /** Reads the request information from a caller's URL and headers. */
  readRequestInfo(url: string, headers: IncomingHttpHeaders): RequestInfo;
  /** Creates the headers of a call to an endpoint. */
  createEndpointHeaders(raw: RawHeaders, callInfo: EndpointCallInfo): string[];
  /** Classifies an endpoint's answer to the attempt with the given ID. */
  classifyAnswer(head: AnswerHead, attemptId: string): AnswerClass;
  /** Reads what an endpoint's answer states about its rate limit. */
  readLimitStatement(headers: IncomingHttpHeaders): LimitStatement;
  /**
   * Reads what an endpoint's answer states about further calls to it.
   *
   * @param rawHeaders with repeated headers, each as received
   */
  readNotice(status: number, rawHeaders: RawHeaders): EndpointNotice;
  /** Creates the headers of the answer to the caller. */
  createCallerHeaders(head: AnswerHead): Record<string, string | string[]>;
}

/** A VM that announced itself in the platform's store. */
export interface AnnouncedVm {
  readonly vm: string;
  /** `host:port` on which the VM receives peer messages. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** What the store has accepted of a VM. */
export interface Announcement {
  /** Era of the store in which it was accepted. */
  readonly era: number;
  /** Whether the store held an entry of this VM already. */
  readonly wasKnown: boolean;
}

/** Content type of each kind of object in the platform's store. */
export interface StoreContents {
  desiredState: DesiredState;
  endpoint: Endpoint;
  move: MoveOrder;
  vm: AnnouncedVm;
  crashReports: readonly CrashReport[];
  /** Name of a zone that is to be evacuated. */
  evacuation: string;
}

/** Kind of an object in the platform's store. */
export type StoreKind = keyof StoreContents;

/** One object in the store. */
export interface StoreItem<K extends StoreKind> {
  readonly name: string;
  /** Undefined if the object was removed or cannot be decoded. */
  readonly content: StoreContents[K] | undefined;
  /** Why the object cannot be decoded; undefined if there was no error. */
  readonly decodeError: string | undefined;
}

/** Objects of one kind: all of them, or those that changed. */
export interface StoreListing<K extends StoreKind> {
  readonly items: ReadonlyArray<StoreItem<K>>;
  /** Position in the store up to which the objects are current. */
  readonly position: StorePosition;
}

/** The operations of the platform's store that the gateway uses. */
export interface DeploymentStore {
  /**
   * Lists the current state of all objects of a kind.
   *
   * @param isStaleAllowed whether the store may return a state that is some
   *   seconds old, which costs it less
   */
  list<K extends StoreKind>(
    kind: K,
    isStaleAllowed?: boolean,
  ): Promise<StoreListing<K>>;
  /**
   * Waits for objects of a kind to change after a position and returns the
   * changed objects. Returns an empty list if nothing changed within `waitMs`,
   * and undefined if the store no longer has the history since that position or
   * is in another era.
   */
  watch<K extends StoreKind>(
    kind: K,
    since: StorePosition,
    waitMs: number,
  ): Promise<StoreListing<K> | undefined>;
  /**
   * Reads the desired state; undefined if there is none that can be decoded.
   *
   * @param isStaleAllowed whether the store may return a state that is some
   *   seconds old, which costs it less
   */
  readDesiredState(isStaleAllowed: boolean): Promise<DesiredState | undefined>;
  /** Writes this VM's address and zone to the store. */
  announceVm(vm: AnnouncedVm): Promise<Announcement>;
  /**
   * Writes the phase of a move, provided that its order was not written after the
   * position that the decision was based on.
   */
  writeMoveResult(result: MoveResult): Promise<void>;
  /** Writes which prompts crash endpoints, in place of what is there. */
  writeCrashReports(reports: readonly CrashReport[]): Promise<void>;
}
