/**
 * Starts services in dependency order, lets them find each other, and stops them in reverse order.
 */

import type { Deadline } from '@bamboowell/types/time';
import type { Directory, Service, ServiceKey } from './service.js';

export class UnknownServiceError extends Error {
  constructor(readonly service: string) {
    super(`no service is published under the name ${service}`);
  }
}

export class DependencyCycleError extends Error {
  constructor(readonly path: readonly string[]) {
    super(`services depend on each other in a cycle: ${path.join(' -> ')}`);
  }
}

export class DuplicateServiceError extends Error {
  constructor(readonly service: string) {
    super(`two services are registered under the name ${service}`);
  }
}

export class Kernel implements Directory {
  private readonly services = new Map<string, Service<unknown>>();
  private readonly handles = new Map<string, unknown>();
  private running: Service<unknown>[] = [];

  register(service: Service<unknown>): void {
    if (this.services.has(service.key.name)) {
      throw new DuplicateServiceError(service.key.name);
    }
    this.services.set(service.key.name, service);
  }

  find<Handle>(key: ServiceKey<Handle>): Handle {
    if (!this.handles.has(key.name)) {
      throw new UnknownServiceError(key.name);
    }
    return this.handles.get(key.name) as Handle;
  }

  /** Starts all services. If one fails to start, stops the running ones and rethrows its error. */
  async start(stopDeadline: Deadline): Promise<void> {
    for (const service of this.inDependencyOrder()) {
      try {
        this.handles.set(service.key.name, await service.start(this));
        this.running.push(service);
      } catch (error) {
        await this.stop(stopDeadline);
        throw error;
      }
    }
  }

  /** Stops all running services, each after those that depend on it. */
  async stop(deadline: Deadline): Promise<void> {
    const running = this.running.reverse();
    this.running = [];
    for (const service of running) {
      await service.stop(deadline);
      this.handles.delete(service.key.name);
    }
  }

  private inDependencyOrder(): Service<unknown>[] {
    const ordered: Service<unknown>[] = [];
    for (const service of this.services.values()) {
      this.visit(service, [], ordered);
    }
    return ordered;
  }

  private visit(service: Service<unknown>, path: string[], ordered: Service<unknown>[]): void {
    if (ordered.includes(service)) {
      return;
    }
    const name = service.key.name;
    if (path.includes(name)) {
      throw new DependencyCycleError([...path, name]);
    }
    for (const dependency of service.dependencies) {
      this.visit(this.required(dependency.name), [...path, name], ordered);
    }
    ordered.push(service);
  }

  private required(name: string): Service<unknown> {
    const service = this.services.get(name);
    if (service === undefined) {
      throw new UnknownServiceError(name);
    }
    return service;
  }
}
