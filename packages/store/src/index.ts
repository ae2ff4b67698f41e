/** Clients for the platform's table service, object store and VM list. */
export type {PlatformEndpoint} from './http_request.js';
export {HttpObjectStore} from './http_object_store.js';
export {HttpTableService} from './http_table_service.js';
export {HttpVmList} from './http_vm_list.js';
export {ObjectStore} from './object_store.js';
export type {PlatformError} from './platform_error.js';
export {HttpVmReports} from './promotion/http_vm_reports.js';
export {NoVmReports} from './promotion/no_vm_reports.js';
export {promoteDocument} from './promotion/promote_document.js';
export type {PromotionDependencies} from './promotion/promote_document.js';
export {VmReports} from './promotion/vm_reports.js';
export {TableCopy, describeStaleAnswer} from './table_copy.js';
export type {CopyUpdate, TableChanges} from './table_copy.js';
export {TableService} from './table_service.js';
export type {Row} from './table_service.js';
export {VmList} from './vm_list.js';
export type {ListedVm, ListedVmState} from './vm_list.js';
export {readVmStatuses} from './read_vm_statuses.js';
export type {VmStatusResult} from './read_vm_statuses.js';
export type {GroupStatus, MemberStatus, VmStatus} from './vm_status.js';
export {TransactionalStore} from './transactional_store.js';
export type {
  RowTransaction,
  StoreReadError,
  StoreTiming,
  StoreWriteError,
  TableReadResult,
  TableRow,
  TransactionResult,
} from './transactional_store.js';
