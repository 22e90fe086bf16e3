import {ClientRequest} from 'node:http';

/** Sends the body of a call, whose length its headers state, and ends the call. */
export function sendBody(call: ClientRequest, chunks: readonly Buffer[]): void {
  for (const chunk of chunks.slice(0, -1)) call.write(chunk);
  call.end(chunks.at(-1));
}
