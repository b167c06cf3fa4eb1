/** Lets a component of a task post messages to that task. */

import type { Alarm } from '@bamboowell/kernel/clock';
import type { Deadline } from '@bamboowell/types/time';

export interface Self<Message> {
  post(message: Message): void;
  postAt(deadline: Deadline, message: Message): Alarm;
}
