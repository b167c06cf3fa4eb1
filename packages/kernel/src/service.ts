/** Services: the parts of a process, which find each other by name. */

import type { Deadline } from '@bamboowell/types/time';

/** The name of a service together with the type of the handle that it publishes. */
export class ServiceKey<Handle> {
  /** Exists only at compile time: ties the handle's type to the key. */
  declare readonly handle: Handle;

  constructor(readonly name: string) {}
}

/** Looks up the handles of services that have started. */
export interface Directory {
  /** @throws UnknownServiceError if the service has published nothing. */
  find<Handle>(key: ServiceKey<Handle>): Handle;
}

export abstract class Service<Handle> {
  abstract readonly key: ServiceKey<Handle>;

  /** Keys of the services that start before this one and stop after it. */
  abstract readonly dependencies: readonly ServiceKey<unknown>[];

  /** Starts the service's tasks and returns the handle that others find. */
  abstract start(directory: Directory): Promise<Handle>;

  /** Stops the service's tasks; work in progress may continue until the deadline. */
  abstract stop(deadline: Deadline): Promise<void>;
}
