// Purpose: release notes, their application to the release in force, the
// codecs of both, and the state machine that writes an accepted note to the
// platform. No I/O: the caller carries out the reads and writes.
// Depends on: av_core, av_model, av_routing (names of choice policies),
// av_yaml; libcrypto (in release_codec.cpp only).

#ifndef AV_RELEASE_AV_RELEASE_HPP
#define AV_RELEASE_AV_RELEASE_HPP

#include <av_release/acceptance.hpp>
#include <av_release/apply_note.hpp>
#include <av_release/release_codec.hpp>
#include <av_release/release_limits.hpp>
#include <av_release/release_note.hpp>
#include <av_release/release_note_builder.hpp>
#include <av_release/release_note_codec.hpp>
#include <av_release/release_order.hpp>
#include <av_release/rule_builder.hpp>
#include <av_release/service_builder.hpp>
#include <av_release/spec_fields.hpp>
#include <av_release/target_builder.hpp>
#include <av_release/validate_release.hpp>

#endif
