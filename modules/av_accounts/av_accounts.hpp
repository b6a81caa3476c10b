// Purpose: finds the account of a call by the key that the caller sent. One
// immutable table for each release. Without I/O.
// Depends on: av_core, av_model.

#ifndef AV_ACCOUNTS_AV_ACCOUNTS_HPP
#define AV_ACCOUNTS_AV_ACCOUNTS_HPP

#include <av_accounts/account_table.hpp>

#endif
