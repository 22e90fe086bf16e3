#!/usr/bin/env node
import {createProgram} from '../createProgram.js';

await createProgram().parseAsync();
