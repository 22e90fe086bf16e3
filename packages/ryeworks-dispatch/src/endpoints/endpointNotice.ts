/** For how long an endpoint that refuses a call wants no further ones. */
export type PauseStatement =
  | {readonly kind: 'paused'; readonly durationMs: number}
  /** It names a duration that cannot be read. */
  | {readonly kind: 'unreadable'; readonly text: string};

/** What an endpoint's answer states about further calls to the endpoint. */
export interface EndpointNotice {
  /** Whether the endpoint is shutting down. */
  readonly isLeaving: boolean;
  /** Undefined if it asks for no pause. */
  readonly pause: PauseStatement | undefined;
}

/** The notice of an endpoint that takes further calls. */
export const openNotice: EndpointNotice = {isLeaving: false, pause: undefined};
