export {createProgram} from './createProgram.js';
export {exitCodes} from './exitCodes.js';
