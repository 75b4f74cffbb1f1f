#ifndef BULRUSH_DUTIES_DUTIES_HPP
#define BULRUSH_DUTIES_DUTIES_HPP

/// Public header of the duties library: counts of requests at hosts, and usage
/// reports, which one process sends for the whole fleet.

#include "duties/counter.hpp"
#include "duties/ledger.hpp"
#include "duties/selection.hpp"

#endif
