// Heads of responses that the tests of all readers share: those that are not
// HTTP, and their valid neighbours.
#ifndef RESPONSE_CASES_H
#define RESPONSE_CASES_H

#include <iterator>
#include <string>
#include <vector>

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
Response(const std::string &status)
{
    return "HTTP/1.1 " + status +
           " Reason\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
}

// Field lines whose name is not a token, or that have none.
inline std::vector<std::string>
BadFieldLines()
{
    std::vector<std::string> lines = {
        std::string("\0A: x\r\n", 7),
        "Content-Length : 1\r\n",
        "Transfer-Encoding : chunked\r\n",
        "HTTP/1.1 200 OK: x\r\n",
        ": x\r\n",
        "No colon\r\n",
        "\rA: x\r\n",
        "A\rB: x\r\n",
        "A\r: x\r\n",
        "\r\r\n",
        std::string("A\0B: x\r\n", 8),
        std::string("A\0: x\r\n", 7),
    };
    for (char byte : std::string("\x01\b\t\v\f\x1f \"(),/;<=>?@[\\]{}\x7f"
                                 "\x80\xff",
                                 26)) {
        const std::string text(1, byte);
        lines.push_back(text + "A: x\r\n");
        lines.push_back("A" + text + "B: x\r\n");
        lines.push_back("A" + text + ": x\r\n");
    }
    return lines;
}

// Field lines with a control byte other than a tab in the value.
inline std::vector<std::string>
BadValueLines()
{
    std::vector<std::string> lines;

    for (char byte : std::string("\0\x01\b\v\f\r\x1f\x7f", 8)) {
        const std::string text(1, byte);
        lines.push_back("A: " + text + "x\r\n");
        lines.push_back("A: x" + text + "y\r\n");
        lines.push_back("A: x" + text + "\r\n");
    }
    return lines;
}

// Field lines that go on in a line that begins with a blank.
const char *const kFoldedFieldLines[] = {
    "A: x\r\n B: y\r\n", "A: x\r\n\ty\r\n", "A: x\n y\r\n",
    "A:\r\n x\r\n",      "A: x\r\n \r\n",   "A:\r\n \r\n",
};

// All of these for readers that use libcurl, which stops in front of a line
// that begins with NUL.
inline std::vector<std::string>
BrokenLinesForLibcurl()
{
    std::vector<std::string> lines(std::begin(kFoldedFieldLines),
                                   std::end(kFoldedFieldLines));

    for (const std::string &line : BadFieldLines()) {
        if (line[0] != '\0') {
            lines.push_back(line);
        }
    }
    for (const std::string &line : BadValueLines()) {
        lines.push_back(line);
    }
    return lines;
}

// Names of all characters of a token, and values with their unusual ones.
const char *const kGoodFieldLines[] = {
    "!#$%&'*+-.^_`|~0123456789: x\r\n",
    "abcdefghijklmnopqrstuvwxyz: x\r\n",
    "ABCDEFGHIJKLMNOPQRSTUVWXYZ: x\r\n",
    "A:x\r\n",
    "A: \t x \t \r\n",
    "A: x y\tz: \"\x80\xff\"\r\n",
};

// A response with a field line before all others, or behind them.
inline std::string
ResponseWithLine(const std::string &line, bool is_first)
{
    return "HTTP/1.1 200 OK\r\n" + (is_first ? line : "") +
           "Seal: s\r\nContent-Length: 2\r\n" + (is_first ? "" : line) +
           "\r\nok";
}

} // namespace response_cases

#endif
