import {
  DocumentContents,
  DocumentName,
  documentNames,
  Endpoint,
} from '@ryeworks/types';

/** Result of a write as its caller sees it. */
export type WriteResult =
  | {readonly result: 'ok'; readonly version: number}
  | {readonly result: 'conflict' | 'failed' | 'unknown'};

/** The platform's object API in virtual time. */
export class FakePlatform {
  private readonly versions: Record<DocumentName, number> = {
    plans: 0,
    allowances: 0,
    endpoints: 0,
    moves: 0,
  };
  private readonly contentJsonByName = new Map<DocumentName, string>();
  private version = 0;
  readonly knownZones = new Set<string>();
  isDown = false;
  /** Writes that will take effect and whose answers will be lost. */
  loseAnswers = 0;
  /** Calls by kind, for the count of what the fleet asks for. */
  readonly calls = {reads: 0, writes: 0};
  /** Called after each change. */
  onChange: (name: DocumentName) => void = () => {};

  /** Returns the present version of a document and its content as JSON. */
  readDocument(name: DocumentName): {version: number; contentJson: string} {
    const contentJson = this.contentJsonByName.get(name) ?? '';
    return {version: this.versions[name], contentJson};
  }

  /** Lists the documents that exist. */
  listDocuments(): DocumentName[] {
    return documentNames.filter(name => this.versions[name] > 0);
  }

  /** Returns the content of a document. */
  getContent<N extends DocumentName>(name: N): DocumentContents[N] {
    return JSON.parse(
      this.contentJsonByName.get(name) ?? '{}',
    ) as DocumentContents[N];
  }

  /** Writes a document without condition, as operators and the platform do. */
  setContent<N extends DocumentName>(
    name: N,
    content: DocumentContents[N],
  ): number {
    this.version += 1;
    this.versions[name] = this.version;
    this.contentJsonByName.set(name, JSON.stringify(content));
    this.onChange(name);
    return this.version;
  }

  /** Changes the record of one endpoint. */
  updateEndpoint(endpoint: string, change: Partial<Endpoint>): void {
    const {endpoints} = this.getContent('endpoints');
    const changed = endpoints.map(one =>
      one.endpoint === endpoint ? {...one, ...change} : one,
    );
    this.setContent('endpoints', {endpoints: changed});
  }

  /** Writes a document if its version is the expected one. */
  writeDocument(
    name: DocumentName,
    expectedVersion: number,
    contentJson: string,
  ): WriteResult {
    this.calls.writes += 1;
    if (this.isDown) return {result: 'failed'};
    if (this.versions[name] !== expectedVersion) return {result: 'conflict'};
    const content = JSON.parse(contentJson) as DocumentContents[DocumentName];
    const version = this.setContent(name, content);
    if (this.loseAnswers === 0) return {result: 'ok', version};
    this.loseAnswers -= 1;
    return {result: 'unknown'};
  }
}
