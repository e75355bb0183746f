// Heads of responses that the tests of all readers share: those that are not
// HTTP, and their valid neighbours.
#ifndef RESPONSE_CASES_H
#define RESPONSE_CASES_H

#include <string>

namespace response_cases {

const char *const kBadStatuses[] = {
    "000", "001", "099", "20", "2 0", "600", "601", "999",
};
const char *const kFinalStatuses[] = {
    "200", "299", "300", "399", "400", "499", "500", "599",
};
const char *const kInterimStatuses[] = {"100", "102", "199"};

// A response with the body "ok". Targets and the store send the seal field
// too, which the store's readers ignore.
inline std::string
Response(const std::string &status, const std::string &fields = "")
{
    return "HTTP/1.1 " + status + " Reason\r\nSeal: s\r\n" + fields +
           "Content-Length: 2\r\n\r\nok";
}

} // namespace response_cases

#endif
