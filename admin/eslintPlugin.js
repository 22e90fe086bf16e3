import {readVerbs} from './verbs.js';

const verbs = new Set(readVerbs());

/** Returns the first word of a camelCase name. */
function getFirstWord(name) {
  return /^[a-z]+/.exec(name)?.[0] ?? '';
}

/** Reports functions whose names do not begin with a listed verb. */
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

/** Reads of ambient input that `noAmbientInput` reports. */
const ambientReads = new Set(['Date.now', 'performance.now', 'Math.random']);

/**
 * Reports reads of a clock or of random numbers in code whose decisions must be
 * reproducible.
 */
const noAmbientInput = {
  meta: {type: 'problem', schema: []},
  create(context) {
    return {
      MemberExpression(node) {
        const name = `${node.object.name}.${node.property.name}`;
        if (!ambientReads.has(name)) return;
        context.report({
          node,
          message: `${name} must not be read here; pass the value as an argument`,
        });
      },
    };
  },
};

/** Names of the users' platform; only its adapter may use them. */
const platformNames =
  /x-(attempt-id|deadline-ms|server-signature|tenant|target-instance|not-executed|token-usage|prefix-hash|cache-hold|pin-ms|kv-backup|weight-versions|length-hint)|kv-(from|fetch)|ryeworks_settings|\b(path_prefix|route_kind|api_keys|rate_per_s|latency_target_ms|max_gap_ms|cold_remaining_ms|node_name|internal_ports|seed_nodes|grace_s|quota_window_s|in_progress|has_more|allow_stale|kv_used_tokens)\b/i;

/** Reports names of the users' platform outside its adapter. */
const noPlatformNames = {
  meta: {type: 'problem', schema: []},
  create(context) {
    function checkText(node, text) {
      const match = platformNames.exec(text)?.[0];
      if (match === undefined) return;
      context.report({
        node,
        message: `"${match}" is a name of the platform; use it only in platform/`,
      });
    }
    return {
      Literal: node => checkText(node, String(node.value)),
      TemplateElement: node => checkText(node, node.value.raw),
      Identifier: node => checkText(node, node.name),
    };
  },
};

/** ESLint plugin with the rules of this project. */
export const houseStyle = {
  rules: {
    'verb-first': verbFirst,
    'no-ambient-input': noAmbientInput,
    'no-platform-names': noPlatformNames,
  },
};
