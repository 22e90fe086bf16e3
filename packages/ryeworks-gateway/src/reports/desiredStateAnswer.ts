import {DesiredState} from '@ryeworks/dispatch';
import {createJsonAnswer, TextAnswer} from './textServer.js';

/** Creates the answers to peers that fetch the desired state. */
export class DesiredStateAnswer {
  private encodedState: DesiredState | undefined;
  private answer = createJsonAnswer(404, {});

  /**
   * Returns the answer for the applied desired state. Each version is encoded
   * once, since many peers fetch a new version at the same time.
   */
  getAnswer(desiredState: DesiredState | undefined): TextAnswer {
    if (desiredState !== this.encodedState) {
      this.encodedState = desiredState;
      this.answer = createJsonAnswer(200, desiredState);
    }
    return this.answer;
  }
}
