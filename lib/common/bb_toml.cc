#include "bb_toml.h"

#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <toml++/toml.h>

struct bb_toml {
    json_t *root;
    std::map<std::string, int> lines;
};

static json_t *convert_node(bb_toml *toml, const toml::node &node,
                            const std::string &path);

static json_t *
convert_table(bb_toml *toml, const toml::table &table, const std::string &path)
{
    json_t *object = json_object();
    for (auto &&[key, value] : table) {
        std::string name(key.str());
        std::string child_path = path.empty() ? name : path + "." + name;
        toml->lines[child_path] = (int)key.source().begin.line;
        json_object_set_new(object, name.c_str(),
                            convert_node(toml, value, child_path));
    }
    return object;
}

static json_t *
convert_array(bb_toml *toml, const toml::array &array, const std::string &path)
{
    json_t *list = json_array();
    size_t index = 0;
    for (auto &&value : array) {
        std::string child_path = path + "." + std::to_string(index++);
        toml->lines[child_path] = (int)value.source().begin.line;
        json_array_append_new(list, convert_node(toml, value, child_path));
    }
    return list;
}

static json_t *
convert_node(bb_toml *toml, const toml::node &node, const std::string &path)
{
    if (auto table = node.as_table()) {
        return convert_table(toml, *table, path);
    }
    if (auto array = node.as_array()) {
        return convert_array(toml, *array, path);
    }
    if (auto text = node.as_string()) {
        return json_string(text->get().c_str());
    }
    if (auto integer = node.as_integer()) {
        return json_integer(integer->get());
    }
    if (auto real = node.as_floating_point()) {
        return json_real(real->get());
    }
    if (auto boolean = node.as_boolean()) {
        return json_boolean(boolean->get());
    }
    std::ostringstream date;
    node.visit([&date](auto &&value) {
        if constexpr (toml::is_date<decltype(value)> ||
                      toml::is_time<decltype(value)> ||
                      toml::is_date_time<decltype(value)>) {
            date << value;
        }
    });
    return json_string(date.str().c_str());
}

bb_toml_t *
BbToml_Parse(const char *text, const char *name, bb_findings_t *findings)
{
    try {
        toml::table table = toml::parse(std::string(text), std::string(name));
        auto *toml = new bb_toml;
        toml->root = convert_table(toml, table, "");
        return toml;
    } catch (const toml::parse_error &error) {
        BbFindings_Add(findings, name, NULL, NULL,
                       (int)error.source().begin.line, "%s",
                       std::string(error.description()).c_str());
        return nullptr;
    }
}

bb_toml_t *
BbToml_Load(const char *path, bb_findings_t *findings)
{
    std::ifstream file(path);
    if (!file) {
        BbFindings_Add(findings, path, NULL, NULL, 0, "cannot be opened");
        return nullptr;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return BbToml_Parse(text.str().c_str(), path, findings);
}

void
BbToml_Free(bb_toml_t *toml)
{
    if (toml != nullptr) {
        json_decref(toml->root);
        delete toml;
    }
}

json_t *
BbToml_Root(const bb_toml_t *toml)
{
    return toml->root;
}

int
BbToml_Line(const bb_toml_t *toml, const char *path)
{
    auto entry = toml->lines.find(path);
    return entry == toml->lines.end() ? 0 : entry->second;
}
