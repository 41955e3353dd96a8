// Package configuration brings operators' records in force on this VM. Some VMs
// watch the records and accept them, as a Release written to the platform by
// conditional update; some watch the Release; the others learn it from them.
// What is decided is in internal/core/config; this package does the calls.
package configuration
