#!/usr/bin/env node
import {Command} from 'commander';
import {defaultEngineOptions} from '../engine/engineModel.js';
import {startEngine} from '../engine/startEngine.js';
import {startPlatform} from '../platform/startPlatform.js';
import {startFaultProxy} from '../proxy/startFaultProxy.js';
import {startService} from '../service/startService.js';

const defaultHost = '127.0.0.1';
const program = new Command('standin').description(
  'Stand-ins for the systems that ryeworks meets, on loopback only.',
);

program
  .command('engine')
  .description('model engine with continuous batching')
  .option('--host <address>', 'loopback address', defaultHost)
  .requiredOption('--port <port>', 'TCP port', Number)
  .option('--engine-version <name>', 'version that it serves', 'v1')
  .option('--generation <number>', 'hardware generation, 1 or 2', Number, 1)
  .option('--seed <number>', 'seed of its failures', Number, 1)
  .option('--ignores-fencing', 'obeys orders with old fencing numbers', false)
  .action(async options => {
    const speed = options.generation === 2 ? 2 : 1;
    await startEngine({
      host: options.host,
      port: options.port,
      version: options.engineVersion,
      checksFencing: !options.ignoresFencing,
      engine: {
        ...defaultEngineOptions,
        baseStepMs: defaultEngineOptions.baseStepMs / speed,
        perSequenceMs: defaultEngineOptions.perSequenceMs / speed,
        promptTokensPerMs: defaultEngineOptions.promptTokensPerMs * speed,
        seed: options.seed,
      },
    });
  });

program
  .command('service')
  .description('plain service with a ledger of runs')
  .option('--host <address>', 'loopback address', defaultHost)
  .requiredOption('--port <port>', 'TCP port', Number)
  .option('--service-version <name>', 'version that it serves', 'v1')
  .option('--call-ms <ms>', 'time of each call', Number, 5)
  .action(async options => {
    const {host, port, serviceVersion, callMs} = options;
    await startService({host, port, version: serviceVersion, callMs});
  });

program
  .command('platform')
  .description('object API with versions, conditional updates and watches')
  .option('--host <address>', 'loopback address', defaultHost)
  .requiredOption('--port <port>', 'TCP port', Number)
  .option('--reads <perSecond>', 'reads a second', Number, 2000)
  .option('--writes <perSecond>', 'writes a second', Number, 400)
  .action(async options => {
    const {host, port, reads, writes} = options;
    await startPlatform({
      host,
      port,
      readsPerSecond: reads,
      writesPerSecond: writes,
    });
  });

program
  .command('proxy')
  .description('TCP proxy that can cut, delay and silence connections')
  .option('--host <address>', 'loopback address', defaultHost)
  .requiredOption('--port <port>', 'TCP port', Number)
  .requiredOption('--control-port <port>', 'port of the switches', Number)
  .requiredOption('--target-port <port>', 'port that it leads to', Number)
  .action(async options => {
    const {host, port, controlPort, targetPort} = options;
    const targetHost = host;
    await startFaultProxy({host, port, controlPort, targetHost, targetPort});
  });

await program.parseAsync();
