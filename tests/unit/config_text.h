// Configurations of the platform as text, for the tests of its adapter.
#ifndef CONFIG_TEXT_H
#define CONFIG_TEXT_H

#include <gtest/gtest.h>

#include <string>

#include "platform.h"

namespace config_text {

// Decodes a configuration of the platform. Findings come with an error only.
inline int
DecodeConfig(const std::string &text, bb_mesh_config_t **config)
{
    bb_findings_t findings;
    BbFindings_Init(&findings);
    int error =
        Platform_DecodeConfig(text.data(), text.size(), &findings, config);
    EXPECT_EQ(error != 0, findings.count > 0);
    BbFindings_Free(&findings);
    return error;
}

inline std::string
ReplaceFirst(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace config_text

#endif
