// Purpose: release notes, their application to the release in force, the
// codecs of both, and the decisions that bring a note into the platform. No
// I/O: adapters read and write what the steps ask for.
// Depends on: av_core, av_model, av_routing (names of choice policies),
// av_yaml; libcrypto (behind release_codec.cpp only).

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
