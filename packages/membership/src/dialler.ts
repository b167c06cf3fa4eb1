/** How a member opens connections to others. */

import type { Address } from '@bamboowell/types/vm';
import type { Deadline } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';

/** Opens connections to other members. Subclasses differ in transport. */
export abstract class Dialler {
  /** Never rejects; nothing if no connection was made by the deadline. */
  abstract dial(address: Address, deadline: Deadline): Promise<Connection | undefined>;
}
