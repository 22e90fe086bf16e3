import {readVerbs} from './verbs.js';

const verbs = new Set(readVerbs());

/** Returns the first word of a camelCase name. */
function getFirstWord(name) {
  return /^[a-z]+/.exec(name)?.[0] ?? '';
}

/** Reports a function whose name does not begin with a listed verb. */
const verbFirst = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    function checkName(node, name) {
      if (verbs.has(getFirstWord(name))) return;
      context.report({
        node,
        message: `"${name}" does not begin with a verb of docs/style.md`,
      });
    }
    return {
      FunctionDeclaration(node) {
        if (node.id !== null) checkName(node.id, node.id.name);
      },
      MethodDefinition(node) {
        const isNamed =
          node.kind === 'method' && node.key.type === 'Identifier';
        if (isNamed) checkName(node.key, node.key.name);
      },
    };
  },
};

const clockReads = new Set(['Date.now', 'performance.now', 'Math.random']);

/** Reports reads of a clock or of random numbers in deciding code. */
const noAmbientInput = {
  meta: {type: 'problem', schema: []},
  create(context) {
    return {
      MemberExpression(node) {
        const name = `${node.object.name}.${node.property.name}`;
        if (!clockReads.has(name)) return;
        context.report({
          node,
          message: `${name} is read here; take it as an argument`,
        });
      },
    };
  },
};

/** Rules of this project's house style. */
export const houseStyle = {
  rules: {'verb-first': verbFirst, 'no-ambient-input': noAmbientInput},
};
