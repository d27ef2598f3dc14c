#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "Command.h"

namespace cuminroad::cli {

namespace {

using TextArg = TCLAP::ValueArg<std::string>;
using NumberArg = TCLAP::ValueArg<std::int64_t>;
using NameArg = TCLAP::UnlabeledValueArg<std::string>;

constexpr int StatusAccepted = 200;

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw TCLAP::ArgException("cannot read the file", Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void printContract(const nlohmann::json &Contract) {
  fmt::print("{} version {}", Contract.at("customer").get<std::string>(),
             Contract.at("version").get<std::int64_t>());
  if (Contract.contains("pending"))
    fmt::print(", change by '{}' pending",
               Contract["pending"].value("operator", ""));
  const nlohmann::json &Terms = Contract.at("terms");
  if (Terms.is_null()) {
    fmt::print(", no terms in force\n");
    return;
  }
  fmt::print(": {} millicores, {} MB, {} accelerators, {} requests{}\n",
             Terms.at("milli_cores").get<std::int64_t>(),
             Terms.at("memory_mb").get<std::int64_t>(),
             Terms.at("accelerators").get<std::int64_t>(),
             Terms.at("requests").get<std::int64_t>(),
             Terms.value("urgent", false) ? ", urgent" : "");
}

int printChangeResponse(const Result<DaemonResponse> &Response,
                        bool JsonOutput) {
  if (!Response || !Response->ok() || JsonOutput) {
    const int Code = printResponse(Response);
    return Code == ExitOk && Response->Status != StatusAccepted ? ExitPending
                                                                : Code;
  }
  const nlohmann::json Body = Response->json();
  if (Body.at("accepted").get<bool>()) {
    fmt::print("accepted and {}: ",
               Body.at("in_force_everywhere").get<bool>()
                   ? "in force everywhere"
                   : "not yet applied by " + Body.at("waits_for").dump());
    printContract(Body.at("contract"));
    return ExitOk;
  }
  fmt::print("pending: the stricter of old and new limits applies until these "
             "daemons acknowledge: {}\n",
             Body.at("waits_for").dump());
  return ExitPending;
}

/// Implements "contract create" and "contract change". Both write the terms; a
/// create expects version 0, that is, no contract.
class PutContract final : public Command {
public:
  explicit PutContract(bool IsCreate) : IsCreate_(IsCreate) {}
  std::string_view name() const override {
    return IsCreate_ ? "contract create" : "contract change";
  }
  std::string_view summary() const override {
    return IsCreate_ ? "create a customer's contract" : "change a contract";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Customer_ = std::make_unique<NameArg>("customer", "the customer", true, "",
                                          "CUSTOMER", Line);
    File_ = std::make_unique<TextArg>("", "file", "the terms, in JSON", true,
                                      "", "FILE", Line);
    Operator_ = std::make_unique<TextArg>("", "operator",
                                          "operator who requests the change",
                                          false, "", "NAME", Line);
    if (!IsCreate_)
      Version_ = std::make_unique<NumberArg>(
          "", "expect-version",
          "version of the contract that the change is based on", true, 0, "N",
          Line);
    DryRun_ = std::make_unique<TCLAP::SwitchArg>(
        "", "dry-run", "show what would change, and change nothing", Line);
  }
  int run(DaemonClient &Client, bool JsonOutput) override {
    const nlohmann::json Terms = nlohmann::json::parse(
        readFile(File_->getValue()), nullptr, false, true);
    if (Terms.is_discarded()) {
      fmt::print(stderr, "cuminroad: {} is not valid JSON\n",
                 File_->getValue());
      return ExitUsage;
    }
    if (DryRun_->getValue())
      return printDifference(Client, Terms);
    const nlohmann::json Body{
        {"expected_version", Version_ ? Version_->getValue() : 0},
        {"operator", Operator_->getValue()},
        {"terms", Terms}};
    return printChangeResponse(
        Client.call("PUT", "/v1/contracts/" + Customer_->getValue(),
                    Body.dump()),
        JsonOutput);
  }

private:
  int printDifference(DaemonClient &Client, const nlohmann::json &Terms) {
    const auto Response =
        Client.call("GET", "/v1/contracts/" + Customer_->getValue());
    if (!Response || (!Response->ok() && Response->Status != 404))
      return printResponse(Response);
    const nlohmann::json OldTerms =
        Response->ok() ? Response->json().at("terms") : nlohmann::json();
    for (const auto &[Name, NewValue] : Terms.items()) {
      const nlohmann::json OldValue =
          OldTerms.is_object() && OldTerms.contains(Name) ? OldTerms[Name]
                                                          : nlohmann::json();
      if (OldValue != NewValue)
        fmt::print("{}: {} -> {}\n", Name, OldValue.dump(), NewValue.dump());
    }
    return ExitOk;
  }

  bool IsCreate_;
  std::unique_ptr<NameArg> Customer_;
  std::unique_ptr<TextArg> File_;
  std::unique_ptr<TextArg> Operator_;
  std::unique_ptr<NumberArg> Version_;
  std::unique_ptr<TCLAP::SwitchArg> DryRun_;
};

class RetireContract final : public Command {
public:
  std::string_view name() const override { return "contract retire"; }
  std::string_view summary() const override {
    return "end a contract: running work continues, no new work starts";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Customer_ = std::make_unique<NameArg>("customer", "the customer", true, "",
                                          "CUSTOMER", Line);
    Operator_ = std::make_unique<TextArg>("", "operator",
                                          "operator who requests the change",
                                          false, "", "NAME", Line);
    Version_ = std::make_unique<NumberArg>(
        "", "expect-version",
        "version of the contract that the change is based on", true, 0, "N",
        Line);
  }
  int run(DaemonClient &Client, bool JsonOutput) override {
    const nlohmann::json Body{{"expected_version", Version_->getValue()},
                              {"operator", Operator_->getValue()}};
    return printChangeResponse(
        Client.call("DELETE", "/v1/contracts/" + Customer_->getValue(),
                    Body.dump()),
        JsonOutput);
  }

private:
  std::unique_ptr<NameArg> Customer_;
  std::unique_ptr<TextArg> Operator_;
  std::unique_ptr<NumberArg> Version_;
};

class ShowContract final : public Command {
public:
  std::string_view name() const override { return "contract show"; }
  std::string_view summary() const override {
    return "show a contract with its history, as JSON";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Customer_ = std::make_unique<NameArg>("customer", "the customer", true, "",
                                          "CUSTOMER", Line);
  }
  int run(DaemonClient &Client, bool) override {
    return printResponse(
        Client.call("GET", "/v1/contracts/" + Customer_->getValue()));
  }

private:
  std::unique_ptr<NameArg> Customer_;
};

class ListContracts final : public Command {
public:
  std::string_view name() const override { return "contract list"; }
  std::string_view summary() const override { return "list all contracts"; }
  void addOptions(TCLAP::CmdLine &) override {}
  int run(DaemonClient &Client, bool JsonOutput) override {
    const auto Response = Client.call("GET", "/v1/contracts");
    if (!Response || !Response->ok() || JsonOutput)
      return printResponse(Response);
    const nlohmann::json Body = Response->json();
    for (const nlohmann::json &Contract : Body.at("contracts"))
      printContract(Contract);
    return ExitOk;
  }
};

/// Asks every daemon which version of the configuration it applies.
class ContractStatus final : public Command {
public:
  std::string_view name() const override { return "contract status"; }
  std::string_view summary() const override {
    return "show which daemon applies which version of each contract";
  }
  void addOptions(TCLAP::CmdLine &) override {}
  int run(DaemonClient &Client, bool) override {
    const auto State = Client.call("GET", "/v1/state");
    if (!State || !State->ok())
      return printResponse(State);
    int Code = ExitOk;
    const nlohmann::json Body = State->json();
    for (const nlohmann::json &Member : Body.at("daemons")) {
      const std::string Server = Member.at("http");
      const auto Response = Client.callServer(Server, "GET", "/v1/contracts");
      fmt::print("{}:", Member.at("name").get<std::string>());
      if (!Response || !Response->ok()) {
        fmt::print(" unreachable\n");
        Code = ExitUnknown;
        continue;
      }
      const nlohmann::json Listing = Response->json();
      for (const nlohmann::json &Contract : Listing.at("contracts"))
        fmt::print(" {}={}{}", Contract.at("customer").get<std::string>(),
                   Contract.at("version").get<std::int64_t>(),
                   Contract.contains("pending") ? "+pending" : "");
      fmt::print("\n");
    }
    return Code;
  }
};

} // namespace

std::vector<std::unique_ptr<Command>> makeContractCommands() {
  std::vector<std::unique_ptr<Command>> Commands;
  Commands.push_back(std::make_unique<PutContract>(true));
  Commands.push_back(std::make_unique<PutContract>(false));
  Commands.push_back(std::make_unique<RetireContract>());
  Commands.push_back(std::make_unique<ShowContract>());
  Commands.push_back(std::make_unique<ListContracts>());
  Commands.push_back(std::make_unique<ContractStatus>());
  return Commands;
}

} // namespace cuminroad::cli
