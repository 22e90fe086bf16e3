/** Path at which a VM gives its desired state to peers. */
export const statePath = '/v1/desired-state';
