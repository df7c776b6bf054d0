// Converts [admission] and its groups to the settings of admission control. Compiled only with
// SABLESPUR_ADMISSION.
#pragma once

#include <memory>

#include "admission/settings.hpp"
#include "config/settings_document.hpp"
#include "config/settings_draft.hpp"

namespace sablespur {

// Builds the settings of admission control. The last group is `others`, even without a section of
// its own. Errors are reported to the document, and the result is then incomplete. The Config must
// already contain the limits on clients and their login methods.
std::shared_ptr<const admission::Settings> makeAdmission(const AdmissionDraft&, const Config&,
                                                         SettingsDocument&);

}  // namespace sablespur
