import ModernError from 'modern-errors';

/** Base of every error that the project throws. */
export const RyeworksError = ModernError.subclass('RyeworksError');

/** Settings or a document that does not match its schema. */
export const InvalidConfigError = RyeworksError.subclass('InvalidConfigError');

/** A call to the platform that failed without taking effect. */
export const PlatformError = RyeworksError.subclass('PlatformError');

/** A call to the platform that may have taken effect: its answer was lost. */
export const PlatformAnswerLostError = RyeworksError.subclass(
  'PlatformAnswerLostError',
);

/** A conditional update whose expected version was not the current one. */
export const VersionConflictError = RyeworksError.subclass(
  'VersionConflictError',
);
