"""Decision logic of all daemons, without input or output.

Times and random numbers are passed in as arguments. Unless a name says that a
time is wall-clock time, times are seconds on the process's monotonic clock.
"""
