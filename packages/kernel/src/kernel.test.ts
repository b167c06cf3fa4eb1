import test from 'ava';
import { NEVER } from '@bamboowell/types/time';
import {
  DependencyCycleError,
  DuplicateServiceError,
  Kernel,
  UnknownServiceError,
} from './kernel.js';
import { Service, ServiceKey, type Directory } from './service.js';

function recordingService(name: string, dependencies: string[], journal: string[], fails = false) {
  return new (class extends Service<string> {
    readonly key = new ServiceKey<string>(name);
    readonly dependencies = dependencies.map((dependency) => new ServiceKey<unknown>(dependency));
    start(directory: Directory): Promise<string> {
      const found = this.dependencies.map((dependency) => directory.find(dependency));
      journal.push(`start ${name} with [${found.join(',')}]`);
      return fails ? Promise.reject(new Error('boom')) : Promise.resolve(`${name}-handle`);
    }
    stop(): Promise<void> {
      journal.push(`stop ${name}`);
      return Promise.resolve();
    }
  })();
}

function kernelOf(...services: Service<unknown>[]): Kernel {
  const kernel = new Kernel();
  for (const service of services) {
    kernel.register(service);
  }
  return kernel;
}

test('starts in dependency order and stops in reverse', async (t) => {
  const journal: string[] = [];
  const kernel = kernelOf(
    recordingService('front', ['log', 'peer'], journal),
    recordingService('peer', ['log'], journal),
    recordingService('log', [], journal),
  );
  await kernel.start(NEVER);
  await kernel.stop(NEVER);
  t.deepEqual(journal, [
    'start log with []',
    'start peer with [log-handle]',
    'start front with [log-handle,peer-handle]',
    'stop front',
    'stop peer',
    'stop log',
  ]);
});

test('stops the running services when a start fails', async (t) => {
  const journal: string[] = [];
  const kernel = kernelOf(
    recordingService('log', [], journal),
    recordingService('peer', ['log'], journal, true),
  );
  await t.throwsAsync(kernel.start(NEVER), { message: 'boom' });
  t.deepEqual(journal.slice(-1), ['stop log']);
});

test('reports the path of a dependency cycle', async (t) => {
  const kernel = kernelOf(recordingService('a', ['b'], []), recordingService('b', ['a'], []));
  const error = await t.throwsAsync(kernel.start(NEVER), { instanceOf: DependencyCycleError });
  t.deepEqual(error.path, ['a', 'b', 'a']);
});

test('refuses unknown and duplicate names', async (t) => {
  const kernel = kernelOf(recordingService('a', ['absent'], []));
  await t.throwsAsync(kernel.start(NEVER), { instanceOf: UnknownServiceError });
  t.throws(
    () => {
      kernel.register(recordingService('a', [], []));
    },
    { instanceOf: DuplicateServiceError },
  );
});
