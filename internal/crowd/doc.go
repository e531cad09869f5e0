// Package crowd contains tests that send one daemon process more bodies and
// connections than its machine can hold, and no other code. They check that the
// process stays alive and within the memory and the descriptors of its settings.
// They depend on the memory of the process, so they run apart from other tests and
// without the race detector.
package crowd
