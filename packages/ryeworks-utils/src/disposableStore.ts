/** Something to clean up. */
export type Disposer = () => void | Promise<void>;

/** Gathers disposers and runs them once, last added first. */
export class DisposableStore {
  private readonly disposers: Disposer[] = [];

  /** Adds a disposer. */
  add(disposer: Disposer): void {
    this.disposers.push(disposer);
  }

  /** Runs every disposer, also after one failed; rethrows the first failure. */
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
