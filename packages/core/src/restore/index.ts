export * from './store_version.js';
