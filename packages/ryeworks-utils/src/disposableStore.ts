/** Function that releases a resource. */
export type Disposer = () => void | Promise<void>;

/** Collects disposers and runs each of them once, last added first. */
export class DisposableStore {
  private readonly disposers: Disposer[] = [];

  /** Adds a disposer. */
  add(disposer: Disposer): void {
    this.disposers.push(disposer);
  }

  /** Runs all disposers even if some fail; rethrows the first error. */
  async dispose(): Promise<void> {
    let firstError: unknown;
    for (const disposer of this.disposers.splice(0).reverse()) {
      try {
        await disposer();
      } catch (error) {
        firstError ??= error;
      }
    }
    if (firstError !== undefined) throw firstError;
  }
}
