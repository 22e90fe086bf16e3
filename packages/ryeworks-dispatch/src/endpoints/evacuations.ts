import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {EvacuationsRead} from '../input.js';

/** Applies the zones that the operators want to be evacuated. */
export function handleEvacuationsRead(
  _state: DispatchState,
  _input: EvacuationsRead,
): Effect[] {
  return [];
}
