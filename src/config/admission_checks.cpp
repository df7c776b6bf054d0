// Completes the settings of [admission], and reports admission settings that are disabled or that
// this build does not support.
#include "config/settings_checks.hpp"
#ifdef SABLESPUR_ADMISSION
#include "config/admission.hpp"
#endif

namespace sablespur {

void completeAdmission(SettingsDocument& document, SettingsDraft& draft) {
  const AdmissionDraft& admission = draft.admission;
  if (!admission.enabled) {
    if (admission.groups.empty()) return;
    const AdmissionGroupDraft& first = admission.groups.front();
    document.report(first.line, "[admission_group " + first.name + "]",
                    {"admission control is off", "write door = yes in [admission]"});
    return;
  }
#ifdef SABLESPUR_ADMISSION
  draft.config.admission = makeAdmission(admission, draft.config, document);
#else
  document.reportKey("admission", "door",
                     {"this build has no admission control", "build with SABLESPUR_ADMISSION"});
#endif
}

}  // namespace sablespur
