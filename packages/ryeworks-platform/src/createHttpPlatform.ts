import {
  PlatformAnswerLostError,
  PlatformError,
  VersionConflictError,
} from '@ryeworks/types';
import {isUnsentError} from '@ryeworks/utils';
import {Agent, Dispatcher, request} from 'undici';
import {ObjectKind, PlatformObjectList, PlatformPort} from './platformPort.js';

/** Time limit for the beginning of the answer to a call, in ms. */
const callTimeoutMs = 1500;
/** Longest pause between two parts of an answer, in ms. */
const maxPauseMs = 1000;
/** Time after the timeout of a watch until its call is aborted, in ms. */
const watchGracePeriodMs = 500;

/** Options of {@link createHttpPlatform}. */
export interface HttpPlatformOptions {
  /** Base URL, such as `http://127.0.0.1:9000`. */
  readonly url: string;
  readonly token: string;
}

/** A call to the object API. */
interface PlatformCall {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly body?: string;
  /**
   * Time limit for the beginning of the answer, in ms. A large list may take
   * longer, as long as bytes arrive.
   */
  readonly timeoutMs: number;
}

/** An answer of the object API. */
interface PlatformAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** HTTP statuses that prove that a write did not take effect. */
const refusedStatuses: ReadonlySet<number> = new Set([
  400, 401, 403, 404, 413, 429, 503,
]);

/** Creates a client of the platform's HTTP object API. */
export function createHttpPlatform(options: HttpPlatformOptions): PlatformPort {
  // Each call opens a new connection, so that a connection that has silently
  // stopped working is never reused.
  const agent: Dispatcher = new Agent({pipelining: 0, connectTimeout: 1000});

  /** Makes a call; throws `PlatformAnswerLostError` when it may have run. */
  async function makeCall(call: PlatformCall): Promise<PlatformAnswer> {
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(), call.timeoutMs);
    try {
      const answer = await request(options.url + call.path, {
        dispatcher: agent,
        method: call.method,
        body: call.body,
        headers: {
          authorization: `Bearer ${options.token}`,
          'content-type': 'application/json',
        },
        signal: controller.signal,
        bodyTimeout: maxPauseMs,
      });
      clearTimeout(timer);
      const text = await answer.body.text();
      return {status: answer.statusCode, body: JSON.parse(text || 'null')};
    } catch (error) {
      const ErrorClass = isUnsentError(error)
        ? PlatformError
        : PlatformAnswerLostError;
      throw new ErrorClass(`platform ${call.method} ${call.path} failed`, {
        cause: error,
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Makes a GET call. An unexpected status always throws `PlatformError`: reads
   * change nothing, so it does not matter whether the call ran.
   */
  async function read(
    path: string,
    timeoutMs: number,
  ): Promise<PlatformAnswer> {
    const answer = await makeCall({method: 'GET', path, timeoutMs});
    const isExpected = [200, 204, 404].includes(answer.status);
    if (isExpected) return answer;
    throw new PlatformError(`platform GET ${path} answered ${answer.status}`);
  }

  return {
    getObject: async (kind, name) => {
      const path = `/objects/${kind}/${encodeURIComponent(name)}`;
      const answer = await read(path, callTimeoutMs);
      if (answer.status === 404) return undefined;
      return answer.body as {name: string; version: number; value: unknown};
    },
    listObjects: async kind => {
      const answer = await read(`/objects/${kind}`, callTimeoutMs);
      return answer.body as PlatformObjectList;
    },
    putObject: async (kind, name, value, expectedVersion) => {
      const encoded = encodeURIComponent(name);
      const condition =
        expectedVersion === undefined ? '' : `?expected=${expectedVersion}`;
      const path = `/objects/${kind}/${encoded}${condition}`;
      const answer = await makeCall({
        method: 'PUT',
        path,
        body: JSON.stringify(value),
        timeoutMs: callTimeoutMs,
      });
      const body = answer.body as {version: number};
      if (answer.status === 200) return body.version;
      if (answer.status === 409) {
        throw new VersionConflictError(
          `${kind}/${name} is at version ${body.version}, ` +
            `not at ${expectedVersion}`,
        );
      }
      const ErrorClass = refusedStatuses.has(answer.status)
        ? PlatformError
        : PlatformAnswerLostError;
      throw new ErrorClass(`platform PUT ${path} answered ${answer.status}`);
    },
    watchObjects: async (kind: ObjectKind, sinceVersion, timeoutMs) => {
      const path = `/watch/${kind}?since=${sinceVersion}&timeoutMs=${timeoutMs}`;
      const answer = await read(path, timeoutMs + watchGracePeriodMs);
      if (answer.status !== 200) return undefined;
      return answer.body as PlatformObjectList;
    },
    close: () => agent.close(),
  };
}
