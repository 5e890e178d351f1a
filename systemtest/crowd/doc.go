// Package crowd runs the programs as separate processes on loopback and presses each of their
// listeners with a crowd of clients that do not behave. The tests check what does not depend on
// the speed of the machine: the process lives, its memory and its descriptors stay under a bound,
// and an ordinary request is answered while the crowd is still connected. They need Linux.
package crowd
