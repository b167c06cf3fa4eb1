/** How a member opens connections to others. */

import type { MemberId } from '@bamboowell/types/ids';
import type { Address } from '@bamboowell/types/vm';
import type { Deadline } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';

/** Opens connections to other members. Subclasses differ in transport. */
export abstract class Dialler {
  /**
   * Never rejects; nothing if no connection was made by the deadline.
   * @param expected the member that the list shows at the address; where the transport knows its
   * peers by their certificates, any other one is no connection.
   */
  abstract dial(
    address: Address,
    deadline: Deadline,
    expected?: MemberId,
  ): Promise<Connection | undefined>;
}
