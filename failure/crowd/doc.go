// Package crowd tests daemons against crowds of clients that hold their memory and their
// descriptors. The tests start separate processes, and check their peak memory, so that they
// run one at a time and beside no other test.
package crowd
