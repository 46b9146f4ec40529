/** Clients of the platform's services: key-value store and VM list. */
export * from "./errors.ts";
export * from "./etcd_store.ts";
export * from "./key_value_store.ts";
export * from "./vm_list.ts";
