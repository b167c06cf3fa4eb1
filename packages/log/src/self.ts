/** How a part of a task sends messages to the task that it belongs to. */

import type { Alarm } from '@bamboowell/kernel/clock';
import type { Deadline } from '@bamboowell/types/time';

export interface Self<Message> {
  post(message: Message): void;
  postAt(deadline: Deadline, message: Message): Alarm;
}
