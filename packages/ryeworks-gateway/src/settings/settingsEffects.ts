import {GatewaySettings} from '../gatewaySettings.js';

/** When a changed setting takes effect. */
export const settingEffect = {
  atOnce: 'at once',
  nextStart: 'next start',
} as const;

/** One of the effects. */
export type SettingEffect = (typeof settingEffect)[keyof typeof settingEffect];

const {atOnce, nextStart} = settingEffect;

/** When a change of each setting takes effect. */
export const settingsEffects: Readonly<
  Record<keyof Required<GatewaySettings>, SettingEffect>
> = {
  vm: nextStart,
  availabilityZone: nextStart,
  callerListen: nextStart,
  readyListen: nextStart,
  peerListen: nextStart,
  metricsListen: nextStart,
  seedPeers: nextStart,
  relayCapacity: nextStart,
  memoryBytes: nextStart,
  maxDescriptors: nextStart,
  logLinesPerSecond: nextStart,
  evacuationMs: nextStart,
  regionByZone: nextStart,
  stopGraceMs: atOnce,
  retryBounds: atOnce,
  limitBounds: atOnce,
  drainMs: atOnce,
  coldBounds: atOnce,
  trialRatio: atOnce,
  trialAllowance: atOnce,
  hedgeRatio: atOnce,
};

/** A setting that differs from the one before. */
export interface ChangedSetting {
  readonly field: string;
  /** The earlier value as JSON. */
  readonly from: string;
  /** The new value as JSON. */
  readonly to: string;
  readonly effect: SettingEffect;
}

/** Lists the settings that have changed. */
export function listChangedSettings(
  before: GatewaySettings,
  after: GatewaySettings,
): ChangedSetting[] {
  const changed: ChangedSetting[] = [];
  for (const field of Object.keys(settingsEffects)) {
    const name = field as keyof GatewaySettings;
    const from = JSON.stringify(before[name]) ?? '';
    const to = JSON.stringify(after[name]) ?? '';
    if (from !== to) {
      changed.push({field, from, to, effect: settingsEffects[name]});
    }
  }
  return changed;
}
