// Purpose: the settings of one VM: value type, builder, YAML reader and
// reference table for operators; also the command line of the daemon.
// Depends on: av_core, av_yaml; docopt (behind daemon_arguments.cpp only).

#ifndef AV_SETTINGS_AV_SETTINGS_HPP
#define AV_SETTINGS_AV_SETTINGS_HPP

#include <av_settings/daemon_arguments.hpp>
#include <av_settings/settings.hpp>
#include <av_settings/settings_builder.hpp>
#include <av_settings/settings_reader.hpp>
#include <av_settings/settings_reference.hpp>

#endif
