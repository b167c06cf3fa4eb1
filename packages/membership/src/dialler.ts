/** Opening of connections to other members. */

import type { MemberId } from '@bamboowell/types/ids';
import type { Address } from '@bamboowell/types/vm';
import type { Deadline } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';

/** Opens connections to other members. Subclasses implement a transport. */
export abstract class Dialler {
  /**
   * Never rejects; resolves to undefined if there is no connection by the deadline.
   * @param expected the member that the VM list shows at the address. A transport that identifies
   * peers by their certificates rejects any other member.
   */
  abstract dial(
    address: Address,
    deadline: Deadline,
    expected?: MemberId,
  ): Promise<Connection | undefined>;
}
